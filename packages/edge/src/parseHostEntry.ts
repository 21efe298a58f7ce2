import { parseJson, parseSocketAddress } from "@ibislanding/core";
import * as z from "zod";
import type { HostEntry } from "./hostEntry";

/** More processing capacity than any host has. */
const MAXIMUM_CORES = 10_000;

const addressSchema = z.string().refine(text => parseSocketAddress(text) !== undefined);

const entrySchema = z.object({
    address: addressSchema,
    availabilityZone: z.string(),
    cores: z.number().nonnegative().max(MAXIMUM_CORES),
    relayAddress: addressSchema.optional(),
});

/** Parses the stored entry of a host; returns undefined if it is malformed. */
export const parseHostEntry = (text: string): HostEntry | undefined => entrySchema.safeParse(parseJson(text)).data;
