/** What a job is estimated to take at the leader. */
import test from "ava"
import {descriptionMemory} from "../../src/pipelines/footprint.js"
import {STEP} from "../support/fleet.js"

test("lists and texts of any length count in what a job takes", t => {
  const plain = descriptionMemory({payload: "", steps: [STEP]})
  const length = 100_000
  const text = "x".repeat(length)
  t.is(
    descriptionMemory({payload: "", steps: [{...STEP, after: Array.from({length}, () => 0)}]}) - plain,
    8 * length,
  )
  for (const name of ["image", "label", "preferredRack"] as const)
    t.is(descriptionMemory({payload: "", steps: [{...STEP, [name]: text}]}) - plain, 2 * length, name)
})
