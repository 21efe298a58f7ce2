import type { ResourceSpecs } from "./resourceSpecs";

/** Kind of a declared resource. */
export type ResourceKind = keyof ResourceSpecs;
