import test from 'ava';
import {
	createBodyCrowd, createHeaderCrowd, createLeavingCrowd, createPipeliningCrowd, createSilentCrowd, createUnreadCrowd,
} from '../src/crowds.js';
import type {ClientSite, Limits} from '../src/instance.js';
import {Port} from '../src/instance.js';
import type {Scenario} from '../src/scenario.js';
import {runScenario} from '../src/scenario.js';

/** Memory and descriptors of the smallest machines; the heap is lowered, so that a small crowd reaches its limit. */
const smallHeap: Limits = {memoryMegabytes: 250, descriptors: 4100, heapMegabytes: 64};
/** The descriptors are lowered as well, so that a small crowd takes all of them. */
const fewDescriptors: Limits = {...smallHeap, descriptors: 600};

type PortFacts = {
	readonly port: Port;
	readonly getPath: (site: ClientSite) => string;
	/** Path that takes a body. */
	readonly getBodyPath: (site: ClientSite, index: number) => string;
};

const formatJobId = (index: number): string => index.toString(16).padStart(16, '0');
const ports: readonly PortFacts[] = [
	{port: Port.Callers, getPath: site => `${site.jobPrefix}${formatJobId(0)}`, getBodyPath: (site, index) => `${site.jobPrefix}${formatJobId(index)}`},
	{port: Port.Readiness, getPath: site => site.readinessPath, getBodyPath: site => site.readinessPath},
	{port: Port.Peers, getPath: site => site.metricsPath, getBodyPath: site => site.peerJobsPath},
];
const formatHeaders = (site: ClientSite): string => `host: ${site.host}\r\nauthorization: Bearer ${site.apiKey}\r\n`;

const checkScenario = test.macro(async (t, scenario: Scenario) => {
	const {violations, measured, log} = await runScenario(scenario);
	t.log(measured);
	if (log !== '') {
		t.log(log);
	}

	t.deepEqual(violations, []);
});

for (const {port, getPath, getBodyPath} of ports) {
	// Guards against a process that ends or hangs since it parses and answers all that a client sends ahead.
	test(`${port}: requests sent ahead without Host or other headers, answers unread`, checkScenario, {
		limits: smallHeap, port, isPausedWhileSending: true,
		createCrowd: ({site, target}) => createPipeliningCrowd({
			target, connections: 200, bytesPerConnection: 1_000_000, request: 'GET / HTTP/1.1\r\n\r\n',
		}),
	});

	// Guards against the same with requests that reach the handler.
	test(`${port}: requests sent ahead with Host and key, answers unread`, checkScenario, {
		limits: smallHeap, port, isPausedWhileSending: true,
		createCrowd: ({site, target}) => createPipeliningCrowd({
			target, connections: 200, bytesPerConnection: 1_000_000, request: `GET ${getPath(site)} HTTP/1.1\r\n${formatHeaders(site)}\r\n`,
		}),
	});

	// Guards against a process that accepts connections until it has no descriptors left for others.
	test(`${port}: connections that send nothing`, checkScenario, {
		limits: fewDescriptors, port,
		createCrowd: ({target}) => createSilentCrowd({target, connections: 800}),
	});

	// Guards against connections that are kept as long as their headers go on, and against headers that are buffered without a limit.
	test(`${port}: headers that never end and headers that are huge`, checkScenario, {
		limits: fewDescriptors, port,
		createCrowd: ({site, target}) => createHeaderCrowd({
			target, connections: 800, hugeBytes: 1_000_000, requestLine: `GET ${getPath(site)} HTTP/1.1\r\n${formatHeaders(site)}`,
		}),
	});

	// Guards against bodies that are each within the limit and together exceed the memory.
	test(`${port}: bodies that are announced and sent slowly, just under the limit, and over it`, checkScenario, {
		limits: smallHeap, port,
		createCrowd: ({site, target}) => createBodyCrowd({
			target, connections: 1000, maximumBodyBytes: site.maximumBodyBytes, getHeader: index => `POST ${getBodyPath(site, index)} HTTP/1.1\r\n${formatHeaders(site)}`,
		}),
	});

	// Guards against answers that are kept for many connections which do not read them.
	test(`${port}: requests on many connections whose answers are not read`, checkScenario, {
		limits: smallHeap, port, isPausedWhileSending: true,
		createCrowd: ({site, target}) => createUnreadCrowd({
			target, connections: 400, requestsPerConnection: 100, request: `GET ${getPath(site)} HTTP/1.1\r\n${formatHeaders(site)}\r\n`,
		}),
	});
}

// Guards against reads that are kept for clients that have closed their connections.
test('callers: reads whose client resets the connection at once', checkScenario, {
	limits: smallHeap, port: Port.Callers,
	createCrowd: ({site, target}) => createLeavingCrowd({
		target, connections: 4000, getRequest: index => `GET ${site.jobPrefix}${formatJobId(index)} HTTP/1.1\r\n${formatHeaders(site)}\r\n`,
	}),
});

// Guards against submissions that are kept for clients that have closed their connections.
test('callers: submissions whose client resets the connection at once', checkScenario, {
	limits: smallHeap, port: Port.Callers,
	createCrowd: ({site, target}) => createLeavingCrowd({
		target, connections: 1000,
		getRequest: index => `POST ${site.jobPrefix}${formatJobId(index)} HTTP/1.1\r\n${formatHeaders(site)}content-length: ${site.jobBody.length}\r\n\r\n${site.jobBody}`,
	}),
});
