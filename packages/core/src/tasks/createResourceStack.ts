import type { ResourceStack } from "./resourceStack";

/** Creates an empty stack. It stands in for `AsyncDisposableStack`, which Node.js 20 does not provide. */
export const createResourceStack = (): ResourceStack => {
    const actions: (() => Promise<void> | void)[] = [];
    return {
        use: resource => {
            actions.push(async () => resource[Symbol.asyncDispose]());
            return resource;
        },
        defer: action => void actions.push(action),
        [Symbol.asyncDispose]: async () => {
            for (const action of actions.splice(0).reverse()) {
                await action();
            }
        },
    };
};
