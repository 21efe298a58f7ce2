import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { readFileSync } from "node:fs";
import { Err, Ok, type Result } from "ts-results";
import type { ConnectionContext } from "./connectionContext";
import type { ContextOptions } from "./contextOptions";
import { readContextFile } from "./readContextFile";

const CALL_TIMEOUT_MS = 10_000;

type Environment = Readonly<Record<string, string | undefined>>;

const toInvalidSettings = (message: string): Failure => createFailure(ErrorCode.InvalidSettings, { message });

const parseServers = (text: string): Result<readonly string[], Failure> => {
    const servers = text.split(",").map(server => server.trim().replace(/\/+$/, "")).filter(server => server !== "");
    const invalidServer = servers.find(server => !URL.canParse(server) || !/^https?:/.test(server));
    return servers.length === 0 || invalidServer !== undefined
        ? Err(toInvalidSettings(`server: must be one or more http or https URLs, separated by commas (value: ${text})`))
        : Ok(servers);
};

const readAuthority = (path: string | undefined): Result<string | undefined, Failure> => {
    try {
        return Ok(path === undefined ? undefined : readFileSync(path, "utf8"));
    }
    catch {
        return Err(toInvalidSettings(`authorityFile: cannot be read (value: ${path})`));
    }
};

/** Combines options, environment variables and the context file, in this order of precedence. */
export const resolveContext = (
    options: ContextOptions,
    environment: Environment,
): Result<ConnectionContext, Failure> => {
    const contextFile = options.contextFile ?? environment.IBIS_CONTEXT;
    const file = contextFile === undefined ? Ok<ContextOptions>({}) : readContextFile(contextFile);
    if (file.err) {
        return file;
    }
    const server = options.server ?? environment.IBIS_SERVER ?? file.val.server;
    if (server === undefined) {
        return Err(toInvalidSettings("No server is configured; use --server, IBIS_SERVER or a context file."));
    }
    const token = options.token ?? environment.IBIS_TOKEN ?? file.val.token;
    return parseServers(server).andThen(servers =>
        readAuthority(options.authorityFile ?? environment.IBIS_AUTHORITY_FILE ?? file.val.authorityFile)
            .map(authorityPem => ({ servers, token, timeoutMs: CALL_TIMEOUT_MS, authorityPem }))
    );
};
