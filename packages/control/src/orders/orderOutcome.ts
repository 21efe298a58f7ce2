import type { Failure, UpstreamId } from "@ibislanding/core";
import type { Result } from "ts-results";

/** What an order led to; only the start of a host yields an id. */
export type OrderOutcome = Result<UpstreamId | undefined, Failure>;
