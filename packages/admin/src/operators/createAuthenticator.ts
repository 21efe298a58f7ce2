import { createFailure, ErrorCode } from "@ibislanding/core";
import { createHash } from "node:crypto";
import { Err, Ok } from "ts-results";
import type { z } from "zod";
import type { operatorSettingsSchema } from "../settings/operatorSettingsSchema";
import type { Authenticator } from "./authenticator";

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/i;

const sha256 = (text: string): string => createHash("sha256").update(text).digest("hex");

/** Creates an authenticator for the configured operators; tokens are looked up by their SHA-256 hash only. */
export const createAuthenticator = (operators: readonly z.infer<typeof operatorSettingsSchema>[]): Authenticator => {
    const operatorsByHash = new Map(operators.map(({ tokenSha256, name, teams }) => [tokenSha256, { name, teams }]));
    return authorization => {
        const token = BEARER_PATTERN.exec(authorization ?? "")?.[1];
        const operator = token === undefined ? undefined : operatorsByHash.get(sha256(token));
        return operator === undefined
            ? Err(createFailure(ErrorCode.Unauthenticated, { message: "The bearer token is missing or not known." }))
            : Ok(operator);
    };
};
