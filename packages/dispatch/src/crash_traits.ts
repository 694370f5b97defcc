import { hash64 } from "@limpetshed/hashing";
import type { PromptInfo } from "./prompt_info.ts";

/** Names that are short and printable are used as they are, so that operators
 * can read them; clients choose the ids of parts. */
const READABLE_NAME = /^[\w.:-]{1,40}$/;
/** Longest list of parts that is followed in full; of a longer one, so many at
 * either end. */
const MAX_PARTS = 32;

/**
 * Returns the traits by which a prompt may crash endpoints: one for each of its
 * parts but the last, which no other request has. A trait belongs to a service,
 * since another service may run other software.
 */
export function promptTraits(
  service: string,
  prompt: PromptInfo | undefined,
): string[] {
  const shared = prompt?.parts.slice(0, -1) ?? [];
  const followed = shared.length <= MAX_PARTS ? shared : [
    ...shared.slice(0, MAX_PARTS / 2),
    ...shared.slice(-MAX_PARTS / 2),
  ];
  return [...new Set(followed.map(({ id }) => partTrait(service, id)))];
}

/** Whether a trait stands for a prompt part; others are the fingerprints of
 * whole requests. */
export function isPartTrait(trait: string): boolean {
  return trait.includes("/");
}

/** The service that a part trait belongs to, in the form used in traits. */
export function traitService(trait: string): string {
  return trait.slice(0, trait.indexOf("/"));
}

/** The form of a service's name that is used in traits. */
export function serviceInTraits(service: string): string {
  return readableName(service);
}

function partTrait(service: string, partId: string): string {
  return `${readableName(service)}/${readableName(partId)}`;
}

function readableName(name: string): string {
  return READABLE_NAME.test(name) ? name : `#${hash64(name).toString(16)}`;
}
