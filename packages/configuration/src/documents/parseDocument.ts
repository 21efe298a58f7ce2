import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import type { ConfigurationDocument } from "@ibislanding/resources";
import { Err, Ok, type Result } from "ts-results";

const isDocument = (value: unknown): value is ConfigurationDocument => {
    const { revision, resources, recentChanges } = (value ?? {}) as Partial<ConfigurationDocument>;
    return Number.isSafeInteger(revision) && Array.isArray(resources) && Array.isArray(recentChanges);
};

const invalidDocument = (): Result<ConfigurationDocument, Failure> =>
    Err(createFailure(ErrorCode.Internal, { message: "The stored configuration is not a valid document." }));

/** Parses a serialized document and checks its top-level structure; fails with `internal`. */
export const parseDocument = (text: string): Result<ConfigurationDocument, Failure> => {
    try {
        const value: unknown = JSON.parse(text);
        return isDocument(value) ? Ok(value) : invalidDocument();
    }
    catch {
        return invalidDocument();
    }
};
