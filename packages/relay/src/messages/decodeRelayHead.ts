import * as z from "zod";
import type { RelayHead } from "./relayHead";

const schema = z.object({
    sender: z.string(),
    accountId: z.string().optional(),
    spareWaitMs: z.number().nonnegative().optional(),
    remainingMs: z.number(),
    isFirstSend: z.boolean(),
    bodyBytes: z.int().nonnegative(),
    softwareVersion: z.string().optional(),
    lastEventId: z.string().optional(),
});

const parse = (text: string): unknown => {
    try {
        return JSON.parse(decodeURIComponent(text));
    }
    catch {
        // The listener logs and counts the refusal of a malformed head.
        return undefined;
    }
};

/** Decodes the value of the header; returns undefined if it is malformed. */
export const decodeRelayHead = (text: string): RelayHead | undefined => {
    const result = schema.safeParse(parse(text));
    return result.success ? result.data as RelayHead : undefined;
};
