/** Draws line plots as SVG text, for reports. */

export interface Series {
  readonly name: string
  readonly points: readonly (readonly [number, number])[]
}

const WIDTH = 720
const HEIGHT = 220
const LEFT = 56
const BOTTOM = 28
const TOP = 12
const COLOURS = ["#2563eb", "#d97706", "#059669", "#9333ea", "#dc2626", "#0891b2"]

function escape(text: string): string {
  return text
    .replaceAll("&", "&amp;")
    .replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;")
    .replaceAll('"', "&quot;")
}

function axisRange(series: readonly Series[], axis: 0 | 1): readonly [number, number] {
  const values = series.flatMap(entry => entry.points.map(point => point[axis]))
  const least = Math.min(axis === 1 ? 0 : Number.POSITIVE_INFINITY, ...values)
  const most = Math.max(...values, least + 1)
  return values.length === 0 ? [0, 1] : [least, most]
}

function formatAxisValue(value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(1)
}

/** Draws lines over a common horizontal axis, with a legend and the lowest and highest value of each axis. */
export function linePlot(
  title: string,
  horizontal: string,
  vertical: string,
  series: readonly Series[],
): string {
  const [left, right] = axisRange(series, 0)
  const [low, high] = axisRange(series, 1)
  const x = (value: number): number => LEFT + ((value - left) / (right - left || 1)) * (WIDTH - LEFT - 10)
  const y = (value: number): number =>
    HEIGHT - BOTTOM - ((value - low) / (high - low || 1)) * (HEIGHT - BOTTOM - TOP)
  const lines = series.map((entry, index) => {
    const points = entry.points.map(([one, other]) => `${x(one).toFixed(1)},${y(other).toFixed(1)}`).join(" ")
    return `<polyline fill="none" stroke="${COLOURS[index % COLOURS.length] ?? ""}" stroke-width="1.6" points="${points}"/>`
  })
  const legend = series.map((entry, index) => {
    const colour = COLOURS[index % COLOURS.length] ?? ""
    return `<text x="${LEFT + 8 + index * 150}" y="${TOP + 6}" fill="${colour}" font-size="12">${escape(entry.name)}</text>`
  })
  const axes = `<line x1="${LEFT}" y1="${HEIGHT - BOTTOM}" x2="${WIDTH}" y2="${HEIGHT - BOTTOM}" stroke="currentColor"/>
<line x1="${LEFT}" y1="${TOP}" x2="${LEFT}" y2="${HEIGHT - BOTTOM}" stroke="currentColor"/>
<text x="4" y="${TOP + 6}" font-size="11" fill="currentColor">${formatAxisValue(high)}</text>
<text x="4" y="${HEIGHT - BOTTOM}" font-size="11" fill="currentColor">${formatAxisValue(low)}</text>
<text x="${LEFT}" y="${HEIGHT - 8}" font-size="11" fill="currentColor">${formatAxisValue(left)} to ${formatAxisValue(right)} ${escape(horizontal)}; ${escape(vertical)}</text>`
  return `<figure><figcaption>${escape(title)}</figcaption><svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${escape(title)}">${axes}${lines.join("")}${legend.join("")}</svg></figure>`
}
