import type { Frame } from "./generated/limpetshed/peer/v1/peer_pb.ts";

/** Body of a frame: a request, a response or a failure. */
export type FrameBody = Exclude<Frame["body"], { case: undefined }>;

/** Name of a message that expects a response. */
export type RequestName = keyof typeof RESPONSE_NAMES;

/** Maps each request name to the name of its response. */
export const RESPONSE_NAMES = {
  heartbeat: "heartbeat",
  probeRequest: "probeResponse",
  admitRequest: "admitResponse",
  renewRequest: "renewResponse",
  releaseRequest: "releaseResponse",
  grantRequest: "grantResponse",
  configFetchRequest: "configFetchResponse",
  claimQueryRequest: "claimQueryResponse",
  handoverRequest: "handoverResponse",
  lookupRequest: "lookupResponse",
  locationsRequest: "locationsResponse",
  lossReport: "lossReportResponse",
  loadSumsRequest: "loadSumsResponse",
} as const satisfies Partial<Record<FrameBody["case"], FrameBody["case"]>>;

/** Message type with the given name. */
export type MessageOf<K extends FrameBody["case"]> = Extract<
  FrameBody,
  { case: K }
>["value"];

/** Response type for the request with the given name. */
export type ResponseOf<K extends RequestName> = MessageOf<
  (typeof RESPONSE_NAMES)[K]
>;

/** Reports whether `name` is the name of a request. */
export function isRequestName(name: string): name is RequestName {
  return name in RESPONSE_NAMES;
}
