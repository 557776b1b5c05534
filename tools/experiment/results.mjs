import { mean, sampleStandardDeviation } from 'simple-statistics';
import { parse, View } from 'vega';
import { compile } from 'vega-lite';

/** Returns the figures of one run of the engine model. */
export function figuresOfEngine(result) {
  return {
    worth: result.worth,
    late: result.late / result.asked,
    unserved: result.unserved / result.asked,
    class: result.worstClass,
    zone: result.worstZone,
    windows: result.worstWindows,
    'price: shared parts read again': result.rereadPrice,
  };
}

/** Returns the figures of one report of the bench. */
export function figuresOfBench(report) {
  const { n, late, refused, failed } = report.all;
  const figures = { worth: report.G, late: late / n, refused: refused / n, failed: failed / n };
  for (const [name, , value] of report.parts) figures[name.replace(/^worst /, '')] = value;
  for (const [name, , price] of report.prices) if (price > 0) figures[`price: ${name}`] = price;
  figures['rules broken'] = Object.keys(report.breaks).length;
  figures.faults = report.fault ? 1 : 0;
  return figures;
}

/** Returns the differences of each candidate to the first one, over runs of the same site, day and seed. */
export function pairedDifferences(plan, results) {
  const [first, ...others] = plan.candidates;
  return others.map((candidate) => {
    const pairs = [];
    for (const [key, run] of results) {
      if (run.candidate !== candidate.name) continue;
      const base = results.get([first.name, run.site, run.day, run.seed].join('_'));
      if (base) pairs.push({ key, base: base.figures, figures: run.figures });
    }
    return { candidate: candidate.name, pairs: pairs.length, figures: summarizeDifferences(pairs) };
  });
}

function summarizeDifferences(pairs) {
  const names = new Set(pairs.flatMap(({ base, figures }) => [...Object.keys(base), ...Object.keys(figures)]));
  const summary = {};
  for (const name of names) {
    const differences = pairs.map(({ base, figures }) => (figures[name] ?? 0) - (base[name] ?? 0));
    summary[name] = {
      mean: mean(differences),
      standardError:
        differences.length < 2 ? null : sampleStandardDeviation(differences) / Math.sqrt(differences.length),
      least: Math.min(...differences),
    };
  }
  return summary;
}

/** Formats the comparison as a table in Markdown: worth first, then the parts of the loss. */
export function formatTable(plan, differences) {
  const lines = [
    `Differences to \`${plan.candidates[0].name}\`: mean, standard error, least.`,
    '',
    '| candidate | pairs | figure | mean | standard error | least |',
    '| --- | --- | --- | --- | --- | --- |',
  ];
  for (const { candidate, pairs, figures } of differences)
    for (const [name, { mean: meanDifference, standardError, least }] of Object.entries(figures))
      if (name === 'worth' || Math.abs(meanDifference) >= 0.0005)
        lines.push(
          `| ${candidate} | ${pairs} | ${name} | ${formatSigned(meanDifference)} | ${standardError === null ? '' : standardError.toFixed(4)} | ${formatSigned(least)} |`,
        );
  return `${lines.join('\n')}\n`;
}

/** Draws the worth of every run, by candidate, as an SVG. */
export async function drawPlot(plan, results) {
  const values = [...results.values()].map(({ candidate, site, day, figures }) => ({
    candidate,
    place: `${site} ${day}`,
    worth: figures.worth,
  }));
  const spec = {
    title: plan.name,
    width: 420,
    height: 40 * plan.candidates.length,
    data: { values },
    layer: [
      {
        mark: { type: 'point', opacity: 0.7 },
        encoding: { color: { field: 'place', type: 'nominal', title: 'site and day' } },
      },
      {
        mark: { type: 'tick', color: 'black', thickness: 2 },
        encoding: { x: { aggregate: 'mean', field: 'worth', type: 'quantitative' } },
      },
    ],
    encoding: {
      x: { field: 'worth', type: 'quantitative', scale: { zero: false }, title: 'worth, mean as a tick' },
      y: { field: 'candidate', type: 'nominal', sort: plan.candidates.map(({ name }) => name), title: null },
    },
  };
  return new View(parse(compile(spec).spec), { renderer: 'none' }).toSVG();
}

function formatSigned(value) {
  return `${value < 0 ? '' : '+'}${value.toFixed(4)}`;
}
