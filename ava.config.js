const avaConfig = {
	files: ['packages/*/*/dist/test/**/*.test.js', 'platform/dist/test/**/*.test.js'],
	// Property tests on one busy core can be slow; the timeout only ends a test that hangs.
	timeout: '120s',
	workerThreads: true,
};

export default avaConfig;
