import type { VersionRule } from "@ibislanding/rollouts";

/** Rule under which a request is placed if the first one leaves no place; undefined if there is none. */
export const createFallbackRule = (rule: VersionRule): VersionRule | undefined =>
    rule.kind === "only" ? { kind: "except", versions: new Set([...rule.excluded, rule.version]) } : undefined;
