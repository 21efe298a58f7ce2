import * as z from "zod";

/** Certificate files of a listener, or `off` for no encryption; replaced files are picked up by HTTP listeners. */
export const tlsSettingsSchema = z.union([
    z.literal("off"),
    z.strictObject({
        /** PEM file with the certificate chain. */
        certificateFile: z.string().min(1),
        /** PEM file with the private key. */
        privateKeyFile: z.string().min(1),
        /** PEM file with the authorities of client certificates; when set, clients must present a certificate. */
        clientAuthorityFile: z.string().min(1).optional(),
    }),
]);
