import { parseJson } from "@ibislanding/core";
import type { HostEntry } from "./hostEntry";

/** Parses the stored entry of a host; returns undefined if it is malformed. */
export const parseHostEntry = (text: string): HostEntry | undefined => {
    const entry = parseJson(text) as Partial<HostEntry> | null | undefined;
    return typeof entry?.address === "string" && typeof entry.availabilityZone === "string"
            && typeof entry.cores === "number"
        ? {
            address: entry.address,
            availabilityZone: entry.availabilityZone,
            cores: entry.cores,
            relayAddress: typeof entry.relayAddress === "string" ? entry.relayAddress : undefined,
        }
        : undefined;
};
