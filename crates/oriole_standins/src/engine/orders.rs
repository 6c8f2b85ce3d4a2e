//! Orders to an engine, with or without a check of fencing numbers.

use oriole_types::domain_type;
use oriole_types::ids::Fence;

domain_type! {
    /// What an engine can be told to do.
    pub enum Order {
        /// Load the weights of experts for a later map.
        LoadExperts {
            /// Version of the map they are for.
            map_version: u64,
            /// Experts by number.
            experts: Vec<u32>,
        },
        /// Switch to another expert map.
        SwitchMap {
            /// Version of the map.
            map_version: u64,
        },
        /// Change role.
        SetRole {
            /// Name of the role.
            role: String,
        },
    }
}

domain_type! {
    /// Body of `POST /v1/order`.
    pub struct OrderRequest {
        /// Fencing number of the order.
        pub fence: Fence,
        /// What to do.
        pub order: Order,
    }
}

domain_type! {
    /// Answer of `POST /v1/order`; status 409 if the order was refused.
    pub struct OrderAnswer {
        /// Whether the order was obeyed.
        pub obeyed: bool,
        /// Highest fencing number obeyed so far.
        pub highest: Fence,
    }
}

/// An order that was obeyed.
pub type ObeyedOrder = OrderRequest;

/// Orders that an engine obeyed.
#[derive(Debug)]
pub(crate) struct Orders {
    checks_fencing: bool,
    highest: Fence,
    obeyed: Vec<ObeyedOrder>,
}

impl Orders {
    pub(crate) fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            highest: Fence::default(),
            obeyed: Vec::new(),
        }
    }

    pub(crate) fn apply(&mut self, req: OrderRequest) -> OrderAnswer {
        let obeyed = !self.checks_fencing || req.fence >= self.highest;
        if obeyed {
            self.highest = self.highest.max(req.fence);
            self.obeyed.push(req);
        }
        OrderAnswer {
            obeyed,
            highest: self.highest,
        }
    }

    pub(crate) fn obeyed(&self) -> &[ObeyedOrder] {
        &self.obeyed
    }
}
