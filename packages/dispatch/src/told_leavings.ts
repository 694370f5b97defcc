import { LRUCache } from "lru-cache";
import { boundedEntries } from "./bounded_entries.ts";

/** Who said that an endpoint leaves. */
export type LeavingSource =
  /** The endpoint, in a response to this node. */
  | "endpoint"
  /** Another node, as the endpoint told it so. */
  | "peer";

/** Bounds the memory for endpoints that are gone. */
const MAX_KEYS = 1_000;

/** Endpoints that said outside their entries that they leave, by key. What they said
 * themselves holds until they start anew; what others passed on is a hint. */
export class ToldLeavings {
  readonly #sources = new LRUCache<string, LeavingSource>(
    boundedEntries(MAX_KEYS),
  );
  /** Told to this node and not passed on yet. */
  #news: string[] = [];

  /** Records that an endpoint leaves; returns whether that was not known. */
  record(key: string, source: LeavingSource): boolean {
    const known = this.#sources.get(key);
    if (known === source || known === "endpoint") {
      return false;
    }
    this.#sources.set(key, source);
    if (source === "endpoint") {
      this.#news.push(key);
    }
    return true;
  }

  /** Whether the endpoint itself said so. */
  isLeaving(key: string): boolean {
    return this.#sources.peek(key) === "endpoint";
  }

  /** Whether another node said so. */
  isHinted(key: string): boolean {
    return this.#sources.peek(key) === "peer";
  }

  /** Returns the endpoints that told this node since the last call. */
  takeNews(): string[] {
    const news = this.#news;
    this.#news = [];
    return news;
  }

  /** Discards what was said of an endpoint that may have started anew. */
  forget(key: string): void {
    this.#sources.delete(key);
  }
}
