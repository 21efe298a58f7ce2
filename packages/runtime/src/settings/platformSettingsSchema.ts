import * as z from "zod";

/** Base URLs of the platform services. */
export const platformSettingsSchema = z.strictObject({
    keyValueUrl: z.url({ protocol: /^https?$/ }),
    hostListUrl: z.url({ protocol: /^https?$/ }),
    cloudUrl: z.url({ protocol: /^https?$/ }).optional(),
    weightStoreUrl: z.url({ protocol: /^https?$/ }).optional(),
});
