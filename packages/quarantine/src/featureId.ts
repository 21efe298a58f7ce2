import type { Brand } from "@ibislanding/core";

/** A kind and a value, separated by a colon; neither contains white space. */
export type FeatureId = Brand<string, "FeatureId">;
