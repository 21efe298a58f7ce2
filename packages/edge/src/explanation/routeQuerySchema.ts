import type { RouteQuery } from "@ibislanding/gateway";
import { z } from "zod";

/** Bounds the work for one query; prompts have a few parts. */
const MAXIMUM_PARTS = 1_000;

const partSchema = z.strictObject({ partId: z.string().min(1), tokens: z.number().nonnegative() });

/** Request that an operator asks about, as `ibisctl explain route` sends it. */
export const routeQuerySchema = z.strictObject({
    host: z.string().min(1),
    path: z.string().startsWith("/"),
    apiKey: z.string().min(1).optional(),
    promptTokens: z.number().nonnegative().default(0),
    promptParts: z.array(partSchema).max(MAXIMUM_PARTS).default([]),
    deadlineMs: z.number().positive().optional(),
}).transform(({ path, apiKey, deadlineMs, ...query }): RouteQuery => ({
    ...query,
    path: path.split("?")[0] ?? path,
    apiKey,
    deadlineMs,
}));
