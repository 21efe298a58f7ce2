import type { Deferred } from "./deferred";

/** Creates a pending promise that is settled through the returned functions. */
export const createDeferred = <T>(): Deferred<T> => {
    let settle: Pick<Deferred<T>, "resolve" | "reject"> | undefined;
    const promise = new Promise<T>((resolve, reject) => {
        settle = { resolve, reject };
    });
    return {
        promise,
        resolve: value => settle?.resolve(value),
        reject: error => settle?.reject(error),
    };
};
