/** Command `npm run measure`: prints the measures of the policy and the baselines on generated inputs. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {measureSite} from './measure.js';
import {formatCosts, formatDetails, formatMeasures} from './report.js';
import {sites} from './sites.js';

const {values} = parseArgs({
	options: {
		seeds: {type: 'string', default: '20'},
		site: {type: 'string', multiple: true, default: []},
		policy: {type: 'string', multiple: true, default: []},
		json: {type: 'string'},
	},
});

const seeds = Array.from({length: Number(values.seeds)}, (_, index) => index + 1);
const chosen = sites.filter(site => values.site.length === 0 || values.site.includes(site.name));
const all = chosen.flatMap(site => {
	const figures = measureSite(site, seeds, values.policy);
	const {weights} = site;
	process.stdout.write([
		`## ${site.name}`,
		`Weights: buffer cost ${weights.bufferCost}, roll-out time ${weights.rollOutTime}, moves ${weights.moves}, share nearness ${weights.shareNearness}. `
		+ `Seeds 1 to ${seeds.length}; median / worst.`,
		formatMeasures(figures),
		formatDetails(figures),
		'Processor time per tick, median / 99th percentile / longest:',
		formatCosts(figures),
		'',
	].join('\n\n'));
	return figures;
});

if (values.json !== undefined) {
	writeFileSync(values.json, `${JSON.stringify(all, undefined, '\t')}\n`);
}
