import type { CrashSuspect } from "@ibislanding/quarantine";

/** A request whose answer was lost. */
export type LostRun = Pick<CrashSuspect, "featureIds" | "runMs" | "hasBegun">;
