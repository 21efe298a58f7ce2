import { type handleUnaryCall, status } from "@grpc/grpc-js";
import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";

/**
 * Adapts a function that returns a result to a unary gRPC handler. A failure is sent as status `FAILED_PRECONDITION`
 * with the error code as details.
 */
export const createUnaryHandler = <Request, Response>(
    handle: (request: Request) => Promise<Result<Response, Failure>> | Result<Response, Failure>,
): handleUnaryCall<Request, Response> =>
(call, callback) => {
    const respond = async (): Promise<void> => {
        const result = await handle(call.request);
        if (result.ok) {
            callback(null, result.val);
            return;
        }
        callback({ code: status.FAILED_PRECONDITION, details: result.val.code });
    };
    respond().catch(() => callback({ code: status.INTERNAL, details: "internal" }));
};
