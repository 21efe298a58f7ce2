import * as z from "zod";

const MAXIMUM_TEAMS = 100;

/** One operator who may use the administration API. */
export const operatorSettingsSchema = z.strictObject({
    /** Name recorded with the operator's changes. */
    name: z.string().min(1).max(64),
    /** SHA-256 hash of the operator's bearer token, in hexadecimal. */
    tokenSha256: z.string().regex(/^[0-9a-f]{64}$/, "must be 64 lower-case hexadecimal digits"),
    /** Teams whose resources the operator may read and change; `*` allows all. */
    teams: z.array(z.string().min(1)).min(1).max(MAXIMUM_TEAMS),
});
