import * as z from "zod";

/** Certificate of a listener, or `off`; files are read again when they change. */
export const tlsSettingsSchema = z.union([
    z.literal("off"),
    z.strictObject({
        /** PEM file with the certificate chain. */
        certificateFile: z.string().min(1),
        /** PEM file with the private key. */
        privateKeyFile: z.string().min(1),
        /** PEM file with the authorities of client certificates; clients need one when it is set. */
        clientAuthorityFile: z.string().min(1).optional(),
    }),
]);
