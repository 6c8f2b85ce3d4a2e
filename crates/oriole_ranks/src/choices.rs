//! Samples of expert choices, and their form in messages.
//!
//! A rank's counts of one pass are small numbers with much noise, so they are scaled to a few choices
//! per expert and take half a byte each on the wire.

/// Average number of choices per expert that a sample is scaled down to. Rounding then adds little
/// to the noise of the choices themselves.
const MAX_MEAN_CHOICES: u64 = 8;

/// Nibble that announces a larger number, in further nibbles of three bits each.
const LARGE_NUMBER: u8 = 15;

/// Bit of a further nibble that tells that another one follows.
const CONTINUES: u8 = 8;

/// Number of further nibbles that hold any `u32`.
const MAX_FURTHER_NIBBLES: u32 = 11;

/// Scales the choices of each layer set down to [`MAX_MEAN_CHOICES`] per expert on average. Returns an
/// empty list if the choices can't be divided into `layer_sets` equal parts.
#[must_use]
pub fn scale_choices(choices: &[u64], layer_sets: usize) -> Vec<u32> {
    if layer_sets == 0 || choices.is_empty() || !choices.len().is_multiple_of(layer_sets) {
        return Vec::new();
    }
    let experts = choices.len() / layer_sets;
    let max_total = MAX_MEAN_CHOICES.saturating_mul(experts as u64);
    let scaled = choices.chunks(experts).flat_map(|set| {
        let total = set.iter().fold(0_u64, |sum, c| sum.saturating_add(*c));
        let scale = (max_total as f64 / total.max(1) as f64).min(1.0);
        set.iter().map(move |c| (*c as f64 * scale).round() as u32)
    });
    scaled.collect()
}

/// Packs numbers into nibbles. A number below 15 takes one.
#[must_use]
pub fn pack(numbers: &[u32]) -> Vec<u8> {
    let mut nibbles = Vec::with_capacity(numbers.len() + numbers.len() / 8);
    for number in numbers {
        if *number < u32::from(LARGE_NUMBER) {
            nibbles.push(*number as u8);
            continue;
        }
        nibbles.push(LARGE_NUMBER);
        let mut rest = number - u32::from(LARGE_NUMBER);
        loop {
            let bits = (rest & 7) as u8;
            rest >>= 3;
            if rest == 0 {
                nibbles.push(bits);
                break;
            }
            nibbles.push(bits | CONTINUES);
        }
    }
    let pairs = nibbles.chunks(2);
    pairs
        .map(|pair| pair[0] | (pair.get(1).copied().unwrap_or(0) << 4))
        .collect()
}

/// Unpacks the first `len` numbers that were packed by [`pack`]. Returns `None` if there are fewer, or
/// if one does not fit its type.
#[must_use]
pub fn unpack(bytes: &[u8], len: usize) -> Option<Vec<u32>> {
    // A number takes a nibble at least.
    if len > bytes.len().saturating_mul(2) {
        return None;
    }
    let mut nibbles = bytes.iter().flat_map(|b| [b & 0xf, b >> 4]);
    let mut numbers = Vec::with_capacity(len);
    for _ in 0..len {
        let first = nibbles.next()?;
        if first < LARGE_NUMBER {
            numbers.push(u32::from(first));
            continue;
        }
        let mut number = 0_u64;
        let mut is_complete = false;
        for i in 0..MAX_FURTHER_NIBBLES {
            let nibble = nibbles.next()?;
            number |= u64::from(nibble & 7) << (3 * i);
            if nibble & CONTINUES == 0 {
                is_complete = true;
                break;
            }
        }
        if !is_complete {
            return None;
        }
        numbers.push(u32::try_from(number + u64::from(LARGE_NUMBER)).ok()?);
    }
    Some(numbers)
}
