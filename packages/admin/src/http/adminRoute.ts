import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { AdminServices } from "../adminServices";
import type { AdminRequest } from "./adminRequest";
import type { AdminResponse } from "./adminResponse";

/** Route of the administration API, with its method, path and handler. */
export interface AdminRoute {
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    /** Path pattern; a segment that starts with `:` is a parameter. */
    readonly path: string;
    readonly handle: (request: AdminRequest, services: AdminServices) => Promise<Result<AdminResponse, Failure>>;
}
