import type { Choice, ChoiceRequest } from "./endpoint_choice.ts";
import {
  EndpointChooser,
  type EndpointChooserOptions,
} from "./endpoint_chooser.ts";
import type { Endpoint } from "./endpoint_registry.ts";
import type { EndpointFilter } from "./version_rollout.ts";

/** Says which versions of a service may take a request. */
export abstract class VersionGate {
  /** Returns filters of the endpoints, to be applied one after the other until one
   * leaves an endpoint; undefined is any. */
  abstract filters(
    request: {
      service: string;
      /** Version at which the request has to go on. */
      version: string | undefined;
      isRetry: boolean;
    },
  ): readonly (EndpointFilter | undefined)[];

  /** Counts an attempt. */
  abstract recordSent(endpoint: Endpoint): void;
}

/** Chooses endpoints among those whose versions may take the request. */
export class GatedChooser extends EndpointChooser {
  readonly #gate: VersionGate;

  constructor(
    { gate, ...options }: EndpointChooserOptions & { gate: VersionGate },
  ) {
    super(options);
    this.#gate = gate;
  }

  override choose(req: ChoiceRequest): Choice {
    let choice: Choice = { refusal: "none_in_service" };
    for (const gated of this.#gated(req, { isRetry: req.tried.size > 0 })) {
      choice = super.choose(gated);
      if (!("refusal" in choice)) {
        this.#gate.recordSent(choice.endpoint);
        break;
      }
    }
    return choice;
  }

  override chooseSpare(req: ChoiceRequest): ReturnType<
    EndpointChooser["chooseSpare"]
  > {
    for (const gated of this.#gated(req, { isRetry: true })) {
      const choice = super.chooseSpare(gated);
      if (choice !== undefined) {
        this.#gate.recordSent(choice.endpoint);
        return choice;
      }
    }
    return undefined;
  }

  /** The request with each of its filters. */
  #gated(
    req: ChoiceRequest,
    { isRetry }: { isRetry: boolean },
  ): ChoiceRequest[] {
    return this.#gate
      .filters({ service: req.spec.name, version: req.version, isRetry })
      .map((isEligible) =>
        isEligible === undefined ? req : { ...req, isEligible }
      );
  }
}
