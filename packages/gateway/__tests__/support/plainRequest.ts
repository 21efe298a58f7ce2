import type { PlacementRequest } from "../../src";

/** A plain request without any restriction. */
export const plainRequest: PlacementRequest = {
    promptTokens: 0,
    promptParts: [],
    objectiveMs: 1_000,
    remainingMs: 6_000,
    requiresSpareCapacity: false,
    requiresKnownVersion: false,
    excluded: new Set(),
    softwareVersion: undefined,
    versionRule: { kind: "any" },
};
