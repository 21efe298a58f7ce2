import type { Failure, UpstreamId } from "@ibislanding/core";
import type { Result } from "ts-results";

/** Result of an order; only a host start returns an upstream id. */
export type OrderOutcome = Result<UpstreamId | undefined, Failure>;
