import type { CrashSuspect } from "./crashSuspect";

/** Identifies a crash: each start of an upstream crashes once. */
export const crashOf = ({ upstreamId, startedAtMs }: CrashSuspect): string => `${upstreamId} ${startedAtMs}`;
