/** Version of the limpetshed program. */
export const VERSION = "0.1.0";
