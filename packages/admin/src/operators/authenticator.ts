import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { Operator } from "./operator";

/** Finds the operator of an `Authorization` header. */
export type Authenticator = (authorization: string | undefined) => Result<Operator, Failure>;
