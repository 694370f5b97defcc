import type { Frame } from "./generated/limpetshed/peer/v1/peer_pb.ts";

/** Body of a frame: one request or one response. */
export type FrameBody = Exclude<Frame["body"], { case: undefined }>;

/** Names of the messages that ask for an answer. */
export type RequestName = keyof typeof RESPONSE_NAMES;

/** Name of the answer to each request. */
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

/** Message of one name. */
export type MessageOf<K extends FrameBody["case"]> = Extract<
  FrameBody,
  { case: K }
>["value"];

/** Answer to the request of one name. */
export type ResponseOf<K extends RequestName> = MessageOf<
  (typeof RESPONSE_NAMES)[K]
>;

/** Whether a frame asks for an answer. */
export function isRequestName(name: string): name is RequestName {
  return name in RESPONSE_NAMES;
}
