import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { spendRetry } from "@ibislanding/limits";
import { Err, Ok, type Result } from "ts-results";
import type { EntryServices } from "../entryServices";

/** Takes one retry from the budget of a service; fails with `overloaded` when it is spent. */
export const permitRetry = ({ limits }: EntryServices, service: string): Result<void, Failure> =>
    spendRetry(limits, service, "retry") ? Ok(undefined) : Err(createFailure(ErrorCode.Overloaded));
