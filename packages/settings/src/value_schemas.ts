import { z } from "zod";

const DURATION_UNITS_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};
const SIZE_UNITS_BYTES: Readonly<Record<string, number>> = {
  B: 1,
  KiB: 1_024,
  MiB: 1_048_576,
};

/** Schema of a duration such as `"250ms"`, converted to milliseconds. */
export function durationSchema(): z.ZodType<number, string> {
  return quantitySchema(
    DURATION_UNITS_MS,
    'a duration with a unit, such as "250ms", "30s", "5m" or "1h"',
  );
}

/** Schema of a size such as `"4MiB"`, converted to bytes. */
export function sizeSchema(): z.ZodType<number, string> {
  return quantitySchema(
    SIZE_UNITS_BYTES,
    'a size with a unit, such as "512B", "64KiB" or "4MiB"',
  );
}

/** Schema of an `ip:port` address; host names are rejected. */
export function addressSchema(): z.ZodType<string, string> {
  return z.string().refine(isIpAddressWithPort, {
    error: 'expected an IP address and port, such as "127.0.0.1:8080"',
  });
}

function quantitySchema(
  units: Readonly<Record<string, number>>,
  expected: string,
): z.ZodType<number, string> {
  return z.string({ error: `expected ${expected}` }).transform((text, ctx) => {
    const match = /^(\d+(?:\.\d+)?)([A-Za-z]+)$/.exec(text.trim());
    const multiplier = match === null ? undefined : units[match[2]!];
    if (match === null || multiplier === undefined) {
      ctx.addIssue({ code: "custom", message: `expected ${expected}` });
      return z.NEVER;
    }
    return Number(match[1]) * multiplier;
  });
}

function isIpAddressWithPort(text: string): boolean {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/
    .exec(text);
  return match !== null && Number(match[2]) <= 65_535;
}
