import * as z from "zod";
import { tlsSettingsSchema } from "./tlsSettingsSchema";

const MAXIMUM_PORT = 65_535;

/** Address, port and TLS settings of a listener. */
export const listenerSettingsSchema = z.strictObject({
    /** IP address to listen on. */
    address: z.union([z.ipv4(), z.ipv6()]),
    /** Port; 0 selects a free one. */
    port: z.int().min(0).max(MAXIMUM_PORT),
    tls: tlsSettingsSchema,
});
