import type { ResourceKind } from "./resourceKind";
import type { ResourceOf } from "./resourceOf";

/** A declared resource of any kind. */
export type Resource = { [K in ResourceKind]: ResourceOf<K>; }[ResourceKind];
