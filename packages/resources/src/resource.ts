import type { ResourceKind } from "./resourceKind";
import type { ResourceOf } from "./resourceOf";

/** A declared resource of any kind, as a union discriminated by `kind`. */
export type Resource = { [K in ResourceKind]: ResourceOf<K>; }[ResourceKind];
