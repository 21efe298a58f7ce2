import type { ConfigurationDocument } from "./configurationDocument";
import type { ResourceKind } from "./resourceKind";
import type { ResourceOf } from "./resourceOf";

/** Returns all resources of a kind, in document order. */
export const listResources = <K extends ResourceKind>(
    document: ConfigurationDocument,
    kind: K,
): readonly ResourceOf<K>[] =>
    document.resources.filter(resource => resource.kind === kind) as unknown as ResourceOf<K>[];
