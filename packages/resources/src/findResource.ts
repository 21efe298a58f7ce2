import type { ConfigurationDocument } from "./configurationDocument";
import type { ResourceKind } from "./resourceKind";
import type { ResourceOf } from "./resourceOf";

/** Returns the resource with the given kind and name, or undefined if it isn't declared. */
export const findResource = <K extends ResourceKind>(
    document: ConfigurationDocument,
    kind: K,
    name: string,
): ResourceOf<K> | undefined =>
    document.resources.find(resource => resource.kind === kind && resource.name === name) as ResourceOf<K> | undefined;
