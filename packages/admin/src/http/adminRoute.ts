import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { AdminServices } from "../adminServices";
import type { AdminRequest } from "./adminRequest";
import type { AdminResponse } from "./adminResponse";

/** One path and method of the administration API. */
export interface AdminRoute {
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    /** Path segments; one that starts with `:` is a parameter. */
    readonly path: string;
    readonly handle: (request: AdminRequest, services: AdminServices) => Promise<Result<AdminResponse, Failure>>;
}
