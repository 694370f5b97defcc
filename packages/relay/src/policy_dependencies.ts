import type {
  EndpointRegistry,
  LoadTracker,
  PrefixCacheIndex,
} from "@limpetshed/dispatch";

/** State that endpoint policies read. */
export interface PolicyDependencies {
  endpointLoads: LoadTracker;
  prefixCacheIndex: PrefixCacheIndex;
  registry: EndpointRegistry;
}
