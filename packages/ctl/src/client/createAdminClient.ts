import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, type Result } from "ts-results";
import type { ConnectionContext } from "../context/connectionContext";
import type { AdminCall } from "./adminCall";
import type { AdminClient } from "./adminClient";
import type { HttpCall } from "./httpCall";
import { parseResponse } from "./parseResponse";
import { sendHttpRequest } from "./sendHttpRequest";

const canTryNextServer = (failure: Failure, call: AdminCall): boolean =>
    failure.code === ErrorCode.PeerUnavailable || failure.code === ErrorCode.NotReady
    || (failure.code === ErrorCode.OutcomeUnknown && call.method === "GET");

/** Creates a client that tries the servers of a connection context in order. */
export const createAdminClient = ({ servers, token, timeoutMs, authorityPem }: ConnectionContext): AdminClient => {
    const createHttpCalls = ({ method, path, headers, document }: AdminCall): readonly HttpCall[] =>
        servers.map(server => ({
            method,
            url: `${server}${path}`,
            headers: { ...headers, ...(token === undefined ? {} : { authorization: `Bearer ${token}` }) },
            body: document === undefined ? undefined : JSON.stringify(document),
            timeoutMs,
            authorityPem,
        }));

    const call = async <T>(adminCall: AdminCall): Promise<Result<T, Failure>> => {
        let last: Result<T, Failure> = Err(
            createFailure(ErrorCode.PeerUnavailable, { message: "No server is configured." }),
        );
        for (const httpCall of createHttpCalls(adminCall)) {
            last = (await sendHttpRequest(httpCall)).andThen(reply => parseResponse<T>(reply));
            if (last.ok || !canTryNextServer(last.val, adminCall)) {
                return last;
            }
        }
        // A read has no effect, so a lost response leaves no outcome unknown.
        const isReadWithoutResponse = last.err && last.val.code === ErrorCode.OutcomeUnknown;
        return isReadWithoutResponse ? last.mapErr(failure => ({ ...failure, code: ErrorCode.PeerUnavailable })) : last;
    };

    return { call, createHttpCalls };
};
