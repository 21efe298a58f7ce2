// Runs the tests with crowds of clients against real processes, one at a time.
module.exports = {
    ...require("./jest.config.cjs"),
    testMatch: ["**/__tests__/**/*.crowd.spec.ts"],
    testPathIgnorePatterns: ["/node_modules/"],
    maxWorkers: 1,
    // Makes jest use a worker, which it ends itself: Node.js 20 sometimes does not come to the end of its own exit after these tests.
    workerIdleMemoryLimit: "2GB",
};
