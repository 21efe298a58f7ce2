import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { AdminRoute } from "./adminRoute";

interface MatchedRoute {
    readonly route: AdminRoute;
    readonly parameters: Readonly<Record<string, string>>;
}

const isParameter = (pattern: string): boolean => pattern.startsWith(":");

const matchPath = (path: string, segments: readonly string[]): Readonly<Record<string, string>> | undefined => {
    const patterns = path.split("/").slice(1);
    const matches = patterns.length === segments.length
        && patterns.every((pattern, index) => isParameter(pattern) || pattern === segments[index]);
    return matches
        ? Object.fromEntries(
            patterns.flatMap((pattern, index) =>
                isParameter(pattern) ? [[pattern.slice(1), segments[index] ?? ""]] : []
            ),
        )
        : undefined;
};

/** Finds the route for a method and path; the failure lists the allowed methods if only the method doesn't match. */
export const matchRoute = (
    routes: readonly AdminRoute[],
    method: string,
    segments: readonly string[],
): Result<MatchedRoute, Failure> => {
    const candidates = routes.flatMap(route => {
        const parameters = matchPath(route.path, segments);
        return parameters === undefined ? [] : [{ route, parameters }];
    });
    const matched = candidates.find(({ route }) => route.method === method);
    if (matched !== undefined) {
        return Ok(matched);
    }
    const allowedMethods = candidates.map(({ route }) => route.method);
    return Err(
        allowedMethods.length === 0
            ? createFailure(ErrorCode.UnknownRoute)
            : createFailure(ErrorCode.UnknownRoute, {
                message: "The path does not support this method.",
                details: { allowedMethods },
            }),
    );
};
