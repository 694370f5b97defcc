import {
  type Choice,
  type ChoiceRequest,
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
    const filters = this.#gate.filters({
      service: req.spec.name,
      version: req.version,
      isRetry: req.tried.size > 0,
    });
    let choice: Choice = { refusal: "none_in_service" };
    for (const isEligible of filters) {
      choice = super.choose(
        isEligible === undefined ? req : { ...req, isEligible },
      );
      if (!("refusal" in choice)) {
        this.#gate.recordSent(choice.endpoint);
        break;
      }
    }
    return choice;
  }
}
