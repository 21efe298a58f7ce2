import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { type ConfigurationDocument, listResources, type ResourceOf } from "@ibislanding/resources";
import { createHash } from "node:crypto";
import { Err, Ok, type Result } from "ts-results";

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/;

const accountIndexes = new WeakMap<ConfigurationDocument, ReadonlyMap<string, ResourceOf<"ClientAccount">>>();

const accountsByKeyHash = (configuration: ConfigurationDocument): ReadonlyMap<string, ResourceOf<"ClientAccount">> => {
    const known = accountIndexes.get(configuration);
    if (known !== undefined) {
        return known;
    }
    const index = new Map(
        listResources(configuration, "ClientAccount").flatMap(account =>
            account.spec.keySha256.map(hash => [hash, account] as const)
        ),
    );
    accountIndexes.set(configuration, index);
    return index;
};

/** Finds the client account whose key hash matches the bearer token; fails with `unauthenticated` if there is none. */
export const authenticate = (
    configuration: ConfigurationDocument,
    authorization: string | undefined,
): Result<ResourceOf<"ClientAccount">, Failure> => {
    const key = BEARER_PATTERN.exec(authorization ?? "")?.[1];
    const hash = key === undefined ? "" : createHash("sha256").update(key).digest("hex");
    const account = accountsByKeyHash(configuration).get(hash);
    return account === undefined ? Err(createFailure(ErrorCode.Unauthenticated)) : Ok(account);
};
