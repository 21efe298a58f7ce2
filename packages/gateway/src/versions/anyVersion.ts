import type { VersionRule } from "@ibislanding/rollouts";

/** Rule that permits each version. */
export const ANY_VERSION: VersionRule = { kind: "any" };
