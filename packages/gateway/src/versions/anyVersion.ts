import type { VersionRule } from "./versionRule";

/** Rule that permits each version. */
export const ANY_VERSION: VersionRule = { kind: "any" };
