import type { ResourceSpecs } from "./resourceSpecs";

/** Name of a resource kind, as in a manifest's `kind` field. */
export type ResourceKind = keyof ResourceSpecs;
