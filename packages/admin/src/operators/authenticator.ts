import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { Operator } from "./operator";

/** Returns the operator whose bearer token is in the `Authorization` header, or an `Unauthenticated` failure. */
export type Authenticator = (authorization: string | undefined) => Result<Operator, Failure>;
