const avaConfig = {
	files: ['dist/test/**/*.process-test.js'],
	// Each test measures a process of its own, which other tests must not delay.
	serial: true,
	concurrency: 1,
	workerThreads: false,
	// Only ends a test that hangs.
	timeout: '5m',
};

export default avaConfig;
