import type { Deferred } from "./deferred";

/** Creates a promise that its owner settles. */
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
